/**
Maps the exit status of the command-line library to the exit code of a usage error. The library exits with the unspecific status 1 on an invalid command line; the programs use status 1 for nothing else.
*/
import process from 'node:process';
import {exitCodes} from './exit-codes.js';

const libraryStatus = 1;

/** Installs an exit handler that replaces the exit status of the command-line library by the one of a usage error. */
export const reportUsageErrors = (): void => {
	process.once('exit', code => {
		if (code === libraryStatus) {
			process.exitCode = exitCodes.usage;
		}
	});
};

/** @param flag - An unknown option. The command-line library exits after the message has been written. */
export const reportUnknownOption = (flag: string): void => {
	process.stderr.write(`Unknown option: ${flag}\n`);
};
