/**
The lifecycle of a process: starting, serving, draining, stopped. A state machine, so that a second signal, or a failure while draining, can not bring a process back to serving. Its transitions are listed in docs/DESIGN.md.
*/
import {createActor, createMachine, type Actor} from 'xstate';
import type {Disposable} from './services.js';

const machine = createMachine({
	id: 'node',
	initial: 'starting',
	states: {
		starting: {on: {started: 'serving', drain: 'stopped', stop: 'stopped'}},
		serving: {on: {drain: 'draining', stop: 'stopped'}},
		draining: {on: {drained: 'stopped', stop: 'stopped'}},
		stopped: {type: 'final'},
	},
});

/** States of a process. */
export type NodeState = 'starting' | 'serving' | 'draining' | 'stopped';

/** Events that move a process from one state to the next. */
export type NodeEvent = 'started' | 'drain' | 'drained' | 'stop';

/** One process's lifecycle. */
export class NodeLifecycle implements Disposable {
	readonly #actor: Actor<typeof machine> = createActor(machine).start();

	get state(): NodeState {
		return this.#actor.getSnapshot().value as NodeState;
	}

	/** True while the process accepts new work. */
	get isServing(): boolean {
		return this.state === 'serving';
	}

	/** True once the process no longer accepts new work. */
	get isLeaving(): boolean {
		return this.state === 'draining' || this.state === 'stopped';
	}

	/** Calls the listener with each new state, until the returned function is called. */
	onChange(listener: (state: NodeState) => void): () => void {
		const subscription = this.#actor.subscribe(snapshot => {
			listener(snapshot.value as NodeState);
		});
		return () => {
			subscription.unsubscribe();
		};
	}

	/** Applies an event; one that the current state does not handle changes nothing. */
	send(event: NodeEvent): void {
		if (this.state !== 'stopped') {
			this.#actor.send({type: event});
		}
	}

	dispose(): void {
		this.send('stop');
	}
}
