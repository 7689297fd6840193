/**
Runs a program of this repository as its users do, for features that look at output, signals and exit codes.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';

/** What a program printed and how it ended. */
export type Ended = {
	readonly stdout: string;
	readonly stderr: string;
	/** `null` when a signal ended it. */
	readonly code: number | null;
};

/** How to run a program. */
export type RunOptions = {
	readonly env?: Readonly<Record<string, string>>;
	/** The repository's root by default. */
	readonly cwd?: string;
};

/** A program that runs. Dispose of it: the process is killed if it still runs. */
export class RunningProcess {
	/** Resolves when the process has ended and its output is complete. */
	readonly ended: Promise<Ended>;
	readonly #child: ChildProcess;
	#stdout = '';
	#stderr = '';
	readonly #waiting: Array<() => void> = [];

	/**
	@param args - Arguments for Node: `dist/x.js …`, or `--import tsx src/x.ts …`.
	@param options - Variables besides those of this process, and the working folder.
	*/
	constructor(args: readonly string[], {env, cwd}: RunOptions = {}) {
		this.#child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}, cwd});
		this.#child.stdout?.setEncoding('utf8').on('data', (text: string) => {
			this.#stdout += text;
			this.#waiting.splice(0).forEach(look => {
				look();
			});
		});
		this.#child.stderr?.setEncoding('utf8').on('data', (text: string) => {
			this.#stderr += text;
		});
		this.ended = new Promise(resolve => {
			this.#child.once('close', code => {
				resolve({stdout: this.#stdout, stderr: this.#stderr, code});
			});
		});
	}

	/** @param signal - Sent to this process alone. */
	signal(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/**
	Waits until standard output has what is looked for. A step's timeout is the limit.

	@param find - Returns what it found, or `undefined`.
	*/
	async output<T>(find: (stdout: string) => T | undefined): Promise<T> {
		return new Promise(resolve => {
			const look = () => {
				const found = find(this.#stdout);
				if (found === undefined) {
					this.#waiting.push(look);
				} else {
					resolve(found);
				}
			};

			look();
		});
	}

	async dispose(): Promise<void> {
		this.#child.kill('SIGKILL');
		await this.ended;
	}
}

/**
@param args - Arguments for Node.
@param options - Variables besides those of this process, and the working folder.
@returns How the program ended.
*/
export const runToEnd = async (args: readonly string[], options?: RunOptions): Promise<Ended> => new RunningProcess(args, options).ended;
