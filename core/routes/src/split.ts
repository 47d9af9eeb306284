import type {Route} from './routes.js';

/**
 * Splits the requests of a route between its services by smooth weighted round-robin: the service that is furthest behind
 * its share is chosen next, so that the shares hold over any span.
 */
export class WeightedSplit {
	readonly #credits = new Map<string, number>();
	#version = 0;

	/** Chooses the service of the next request. `version` is the version of the route table; a change resets the credits. */
	choose(route: Route, version: number): string {
		const [first] = route.services;
		if (route.services.length === 1 && first !== undefined) {
			return first.service;
		}

		if (version !== this.#version) {
			this.#credits.clear();
			this.#version = version;
		}

		let total = 0;
		let selected: {readonly service: string; readonly id: string; readonly credit: number} | undefined;
		for (const {service, weight} of route.services) {
			const id = `${route.name}\n${service}`;
			const credit = (this.#credits.get(id) ?? 0) + weight;
			total += weight;
			this.#credits.set(id, credit);
			if (weight > 0 && (selected === undefined || credit > selected.credit)) {
				selected = {service, id, credit};
			}
		}

		if (selected === undefined) {
			return first?.service ?? '';
		}

		this.#credits.set(selected.id, selected.credit - total);
		return selected.service;
	}
}
