/** The backend server beside, as it announced itself. */
export type GateBackend = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly isDivided: boolean;
	/** Requests a second that it bears while it is cold; undefined while it is warm. */
	readonly coldPerS: number | undefined;
	/** Why it takes nothing new, and until when requests that are here may still be sent, on the gate's clock. */
	readonly leaving?: {readonly reason: 'leaving' | 'evacuated'; readonly lastSendMs: number};
};
