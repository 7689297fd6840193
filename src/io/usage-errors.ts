/**
The exit code of a wrong command line. The command-line library leaves with status 1, which says nothing; no other part of the programs uses 1.
*/
import process from 'node:process';
import {exitCodes} from './exit-codes.js';

const libraryStatus = 1;

/** From here on the command-line library's exit status becomes the one for a usage error. */
export const reportUsageErrors = (): void => {
	process.once('exit', code => {
		if (code === libraryStatus) {
			process.exitCode = exitCodes.usage;
		}
	});
};

/** @param flag - An option that the program does not have. The command-line library then ends the process. */
export const tellUnknownOption = (flag: string): void => {
	process.stderr.write(`Unknown option: ${flag}\n`);
};
