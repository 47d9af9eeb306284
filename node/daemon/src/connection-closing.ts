import type {MiddlewareHandler} from 'hono';

/** Creates the step that asks callers, once the signal has aborted, to use their connection no more after an answer. */
export function createConnectionClosing(stopping: AbortSignal): MiddlewareHandler {
	return async (context, next) => {
		await next();
		if (stopping.aborted) {
			context.header('connection', 'close');
		}
	};
}
