import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {StepScope} from './step-scope.js';

/** Applies a configuration if it is newer than the node's current one. */
export function applyConfiguration(scope: StepScope, configuration: Configuration): void {
	if (configuration.version <= scope.state.configuration.version) {
		return;
	}

	scope.state.configuration = configuration;
	scope.effects.push({kind: 'configuration-changed', configuration});
}
