import type {Route} from './routes.js';

/**
 * Deals the requests of a route to its services by weight, evenly over any span: the service that is furthest behind
 * its share comes next.
 */
export class WeightedSplit {
	readonly #credits = new Map<string, number>();
	#version = 0;

	/** Chooses the service of the next request. `version` is that of the route table; another one starts the count anew. */
	choose(route: Route, version: number): string {
		const [only] = route.services;
		if (route.services.length === 1 && only !== undefined) {
			return only.service;
		}

		if (version !== this.#version) {
			this.#credits.clear();
			this.#version = version;
		}

		let total = 0;
		let best: {readonly service: string; readonly id: string; readonly credit: number} | undefined;
		for (const {service, weight} of route.services) {
			const id = `${route.name}\n${service}`;
			const credit = (this.#credits.get(id) ?? 0) + weight;
			total += weight;
			this.#credits.set(id, credit);
			if (weight > 0 && (best === undefined || credit > best.credit)) {
				best = {service, id, credit};
			}
		}

		if (best === undefined) {
			return only?.service ?? '';
		}

		this.#credits.set(best.id, best.credit - total);
		return best.service;
	}
}
