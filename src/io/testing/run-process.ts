/**
Runs a program of this repository in its own process, for features that check output, signals and exit codes.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';

/** Output and exit code of a program. */
export type Ended = {
	readonly stdout: string;
	readonly stderr: string;
	/** `null` if the process was terminated by a signal. */
	readonly code: number | null;
};

/** Environment and working directory of a program. */
export type RunOptions = {
	readonly env?: Readonly<Record<string, string>>;
	/** Defaults to the root of the repository. */
	readonly cwd?: string;
};

/** A running program. Disposing of it kills the process if it is still running. */
export class RunningProcess {
	/** Resolves when the process has exited and its output is complete. */
	readonly ended: Promise<Ended>;
	readonly #child: ChildProcess;
	#stdout = '';
	#stderr = '';
	readonly #outputListeners: Array<() => void> = [];

	/**
	@param args - Arguments for Node: `dist/x.js …`, or `--import tsx src/x.ts …`.
	@param options - Environment variables in addition to those of this process, and the working directory.
	*/
	constructor(args: readonly string[], {env, cwd}: RunOptions = {}) {
		this.#child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}, cwd});
		this.#child.stdout?.setEncoding('utf8').on('data', (text: string) => {
			this.#stdout += text;
			this.#outputListeners.splice(0).forEach(check => {
				check();
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

	/** @param signal - Sent to the process only, not to its children. */
	signal(signal: NodeJS.Signals): void {
		this.#child.kill(signal);
	}

	/**
	Waits until `find` returns a result for standard output. The timeout of the step is the limit.

	@param find - Returns the match, or `undefined` to wait for more output.
	*/
	async output<T>(find: (stdout: string) => T | undefined): Promise<T> {
		return new Promise(resolve => {
			const check = () => {
				const found = find(this.#stdout);
				if (found === undefined) {
					this.#outputListeners.push(check);
				} else {
					resolve(found);
				}
			};

			check();
		});
	}

	async dispose(): Promise<void> {
		this.#child.kill('SIGKILL');
		await this.ended;
	}
}

/**
@param args - Arguments for Node.
@param options - Environment variables in addition to those of this process, and the working directory.
@returns Output and exit code of the program.
*/
export const runToEnd = async (args: readonly string[], options?: RunOptions): Promise<Ended> => new RunningProcess(args, options).ended;
