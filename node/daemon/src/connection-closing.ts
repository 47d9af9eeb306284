import type {MiddlewareHandler} from 'hono';

/** Creates the middleware that adds `connection: close` to answers after the signal has aborted. Callers then stop using the connection. */
export function createConnectionClosing(stopping: AbortSignal): MiddlewareHandler {
	return async (context, next) => {
		await next();
		if (stopping.aborted) {
			context.header('connection', 'close');
		}
	};
}
