/**
Stores held jobs on a disk, one file each. A job counts as held only once its file and the folder's entry for it have been synced to the disk: after a power loss anything that was not synced may be missing or torn.
*/
import {
	mkdir, open, readdir, readFile, rm, unlink,
} from 'node:fs/promises';
import path from 'node:path';
import {EitherAsync} from 'purify-ts/EitherAsync';
import {Either} from 'purify-ts/Either';
import {readHeldJob, type HeldJob} from './held-job.js';

const suffix = '.json';

/** Each acceptance has its own content, so two fronts that accept the same job never write the same file. */
const fileOf = ({record}: HeldJob): string => `${encodeURIComponent(record.content)}${suffix}`;

/** Why a job is not held. `isGone`: nothing of it is left on the disk, so it will not reappear at the next start. */
export type JournalFailure = {
	readonly isGone: boolean;
	readonly reason: string;
};

/** What a journal holds at the start of its process. */
export type LoadedJobs = {
	readonly jobs: readonly HeldJob[];
	/** Why files, or the whole folder, could not be read. */
	readonly failures: readonly string[];
};

/** @returns `undefined` for a torn file. */
const parseJob = (text: string): HeldJob | undefined => {
	try {
		return readHeldJob(JSON.parse(text));
	} catch {
		return undefined;
	}
};

/** See the module's head. */
export class JobJournal {
	readonly #dir: string;

	/** @param dir - A folder that nothing else uses; it is created if it is missing. */
	constructor(dir: string) {
		this.#dir = dir;
	}

	/** @returns The jobs that were held before, and why files could not be read. Torn files are skipped, since no caller received a confirmation of their jobs. */
	async load(): Promise<LoadedJobs> {
		try {
			await mkdir(this.#dir, {recursive: true});
			const names = await readdir(this.#dir);
			const read = await Promise.all(names.filter(name => name.endsWith(suffix)).map(async name => this.#read(name)));
			return {jobs: Either.rights(read).filter(job => job !== undefined), failures: Either.lefts(read)};
		} catch (err) {
			return {jobs: [], failures: [String(err)]};
		}
	}

	/**
	Writes a job to the disk, which may be full or failing.

	What a failed write leaves is removed: a file that was written completely, but whose sync failed, would be read at the next start, and a job would run that its caller was told will never run.
	*/
	async hold(job: HeldJob): Promise<Either<JournalFailure, void>> {
		return EitherAsync(async () => this.#write(job))
			.chainLeft(err => EitherAsync(async ({throwE}) => throwE({isGone: await this.#isRemoved(job), reason: String(err)})));
	}

	/** Removes a job. Without a sync of the folder, a power loss could restore a job that has long been finished and removed. */
	async remove(job: HeldJob): Promise<void> {
		await unlink(path.join(this.#dir, fileOf(job)));
		await this.#syncDir();
	}

	async #write(job: HeldJob) {
		const file = await open(path.join(this.#dir, fileOf(job)), 'w');
		try {
			await file.writeFile(JSON.stringify(job));
			await file.sync();
		} finally {
			await file.close();
		}

		await this.#syncDir();
	}

	async #isRemoved(job: HeldJob): Promise<boolean> {
		try {
			await rm(path.join(this.#dir, fileOf(job)), {force: true});
			await this.#syncDir();
			return true;
		} catch {
			return false;
		}
	}

	async #read(name: string): Promise<Either<string, HeldJob | undefined>> {
		const text = await EitherAsync(async () => readFile(path.join(this.#dir, name), 'utf8'));
		return text.bimap(String, parseJob);
	}

	async #syncDir() {
		const dir = await open(this.#dir, 'r');
		try {
			await dir.sync();
		} finally {
			await dir.close();
		}
	}
}
