import type {Finding} from '@buckthornpoint/errors/findings.js';

const timeoutSignal = /AbortSignal\s*\.timeout\(/v;
const combinedSignal = /AbortSignal\.any\(/v;

/** Finds a combination of abort signals with a time-out among them: its timer is lost in a garbage collection and never fires. */
export function checkSignals(file: string, text: string): readonly Finding[] {
	if (file.includes('/test/') || !timeoutSignal.test(text)) {
		return [];
	}

	return text.split('\n').flatMap((content, index): readonly Finding[] => {
		const column = content.search(combinedSignal);
		return column === -1
			? []
			: [{code: 'ERR_DOCUMENT_VALUE', message: 'a time-out must be combined with another signal by DeadlineSignal', place: {file, line: index + 1, column: column + 1}}];
	});
}
