/**
Runs one built program as its users do: a process of its own with a settings file, its log in a file. Benchmarks and features stop it, freeze it and kill it.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** How a process ended. */
export type ProcessEnd = {
	/** `null` when a signal ended it. */
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
};

/** What to run. */
export type ProgramCommand = {
	/** The program's bundle, without `.js`. */
	readonly program: string;
	/** The folder of the bundle; `dist` by default. */
	readonly dir?: string;
	/** Options of Node.js, before the bundle. */
	readonly nodeOptions?: readonly string[];
	readonly args: readonly string[];
	/** Where its standard output and its errors go. */
	readonly logFile: string;
};

const pollMs = 20;
const startPolls = 500;
// Daemons tell it in their first log event, stand-ins in a line of their own.
const addressPattern = /"(?:callers|entries|listening)":"(?<address>[^"]+:\d+)"/v;

// A benchmark that is itself stopped must not leave its fleet running.
const running = new Set<ChildProcess>();
process.once('exit', () => {
	running.forEach(child => {
		child.kill('SIGKILL');
	});
});
(['SIGTERM', 'SIGINT'] as const).forEach(signal => {
	process.once(signal, () => {
		process.exit(1);
	});
});

/** A program that listens. Dispose of it: the process is killed if it still runs. */
export class ProgramProcess {
	/** Starts a program and waits until it has told where it listens. Rejects when it ends before, or takes 10 s. */
	static async start(command: ProgramCommand): Promise<ProgramProcess> {
		const program = ProgramProcess.launch(command);
		await program.#awaitAddress();
		return program;
	}

	/** Starts a program without waiting for it. */
	static launch(command: ProgramCommand): ProgramProcess {
		return new ProgramProcess(command);
	}

	readonly ended: Promise<ProcessEnd>;
	readonly #command: ProgramCommand;
	readonly #child: ChildProcess;
	#address = '';
	#isRunning = true;

	private constructor(command: ProgramCommand) {
		this.#command = command;
		const {program, dir = 'dist', nodeOptions = [], args, logFile} = command;
		const output = openSync(logFile, 'w');
		this.#child = spawn(process.execPath, [...nodeOptions, `${dir}/${program}.js`, ...args], {stdio: ['ignore', output, output]});
		closeSync(output);
		running.add(this.#child);
		this.ended = new Promise(resolve => {
			this.#child.once('exit', (code, signal) => {
				this.#isRunning = false;
				running.delete(this.#child);
				resolve({code, signal});
			});
		});
	}

	/** `ip:port` that it listens on. */
	get address(): string {
		return this.#address;
	}

	get pid(): number {
		return this.#child.pid!;
	}

	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** What it has written so far. */
	get log(): string {
		return readFileSync(this.#command.logFile, 'utf8');
	}

	/** @param signal - Sent to this process alone. */
	signal(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/** Asks for a graceful shutdown and waits for its end. */
	async stop(): Promise<ProcessEnd> {
		this.signal('SIGTERM');
		return this.ended;
	}

	/** Ends it at once, also when it is frozen, and waits for its end. */
	async dispose(): Promise<void> {
		this.signal('SIGKILL');
		await this.ended;
	}

	async #awaitAddress() {
		for (let poll = 0; poll < startPolls && this.#isRunning; poll += 1) {
			const address = addressPattern.exec(this.log)?.groups?.address;
			if (address !== undefined) {
				this.#address = address;
				return;
			}

			await sleep(pollMs);
		}

		this.signal('SIGKILL');
		throw new Error(`${this.#command.program} did not start:\n${this.log}`);
	}
}
