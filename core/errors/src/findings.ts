import type {ErrorCode} from './codes.js';

/** Location of a finding in a document. Lines and columns count from 1. */
export type SourceLocation = {
	readonly file: string;
	readonly line: number;
	readonly column: number;
};

/** One problem found in an input. Findings are collected and reported together. */
export type Finding = {
	readonly code: ErrorCode;
	readonly message: string;
	readonly place?: SourceLocation;
	readonly hint?: string;
};

/** Formats findings for display, one per line, ordered by location. */
export function formatFindings(findings: readonly Finding[]): string {
	return findings.toSorted(compareFindings).map(finding => formatFinding(finding)).join('\n');
}

/** Formats one finding as `file:line:column: CODE: message (hint)`. */
export function formatFinding(finding: Finding): string {
	const place = finding.place === undefined ? '' : `${finding.place.file}:${finding.place.line}:${finding.place.column}: `;
	const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
	return `${place}${finding.code}: ${finding.message}${hint}`;
}

function compareFindings(left: Finding, right: Finding): number {
	const lineOrder = (left.place?.line ?? 0) - (right.place?.line ?? 0);
	return lineOrder === 0 ? (left.place?.column ?? 0) - (right.place?.column ?? 0) : lineOrder;
}
