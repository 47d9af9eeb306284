import type {FinishedRequest} from '@buckthornpoint/ingress/finished-request.js';
import {Counter, type Registry} from 'prom-client';

type AccountLabels = {readonly account: string; readonly outcome: FinishedRequest['outcome']; readonly reason: string};

/**
 * Counts the requests of client accounts by how they ended. Only accounts of the configuration in force are kept, so that the number
 * of labels stays bounded over any number of configurations.
 */
export class AccountCounts {
	readonly #counter: Counter<keyof AccountLabels>;
	readonly #hasAccount: (name: string) => boolean;
	/** The labels in use, by account and by outcome and reason. */
	readonly #labels = new Map<string, Map<string, AccountLabels>>();

	constructor(registry: Registry, hasAccount: (name: string) => boolean) {
		this.#hasAccount = hasAccount;
		this.#counter = new Counter({
			name: 'buckthornpoint_account_requests_total',
			help: 'Requests of client accounts that entered at this node, by how they ended',
			labelNames: ['account', 'outcome', 'reason'],
			registers: [registry],
			collect: () => {
				this.#removeWithdrawn();
			},
		});
	}

	/** Counts a finished request. One of an account that was withdrawn meanwhile is not counted. */
	record(account: string, outcome: FinishedRequest['outcome'], reason: string): void {
		if (!this.#hasAccount(account)) {
			return;
		}

		if (!this.#labels.has(account)) {
			this.#removeWithdrawn();
		}

		const labels: AccountLabels = {account, outcome, reason: outcome === 'bad-request' ? '' : reason};
		const ofAccount = this.#labels.get(account) ?? new Map<string, AccountLabels>();
		this.#labels.set(account, ofAccount);
		ofAccount.set(`${labels.outcome} ${labels.reason}`, labels);
		this.#counter.inc(labels);
	}

	#removeWithdrawn(): void {
		for (const [account, ofAccount] of this.#labels) {
			if (!this.#hasAccount(account)) {
				this.#labels.delete(account);
				for (const labels of ofAccount.values()) {
					this.#counter.remove(labels);
				}
			}
		}
	}
}
