import type {MiddlewareHandler} from 'hono';

/** Creates the middleware that, once the signal has aborted, adds `connection: close` to answers, so that callers stop using the connection. */
export function createConnectionClosing(stopping: AbortSignal): MiddlewareHandler {
	return async (context, next) => {
		await next();
		if (stopping.aborted) {
			context.header('connection', 'close');
		}
	};
}
