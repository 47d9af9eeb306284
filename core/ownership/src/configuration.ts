import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {StepScope} from './step-scope.js';

/** Takes over a configuration that is newer than the known one. */
export function applyConfiguration(scope: StepScope, configuration: Configuration): void {
	if (configuration.version <= scope.state.configuration.version) {
		return;
	}

	scope.state.configuration = configuration;
	scope.effects.push({kind: 'configuration-changed', configuration});
}
