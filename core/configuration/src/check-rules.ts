import type {ErrorCode} from '@buckthornpoint/errors/codes.js';
import type {RequestRule} from '@buckthornpoint/types/configuration.js';

const anyMethod = '*';

/** A finding about one rule of a list. */
export type RuleFinding = {
	readonly code: ErrorCode;
	readonly message: string;
	readonly hint: string;
	/** Index of the rule. */
	readonly rule: number;
};

/** Finds rules that can never apply, because an earlier rule matches every request that they match. */
export function checkRules(rules: readonly RequestRule[]): readonly RuleFinding[] {
	return rules.flatMap((rule, index) => {
		const earlier = rules.slice(0, index).find(candidate => isCovered(rule, candidate));
		return earlier === undefined
			? []
			: [{
				code: 'ERR_CONFIGURATION_INVALID' as const,
				message: `the rule ${formatRule(rule)} is never reached: ${formatRule(earlier)} before it matches the same requests`,
				hint: 'the first match decides; put the narrower rule first',
				rule: index,
			}];
	});
}

/** Formats the method and path prefix of a rule, such as `GET /lots`. */
export function formatRule(rule: RequestRule): string {
	return `${rule.method} ${rule.pathPrefix}`;
}

function isCovered(rule: RequestRule, earlier: RequestRule): boolean {
	const coversMethod = earlier.method === anyMethod || earlier.method === rule.method;
	return coversMethod && rule.pathPrefix.startsWith(earlier.pathPrefix);
}
