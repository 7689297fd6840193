/**
Exit codes of all programs, following BSD sysexits(3), so that a supervisor can distinguish a settings error, which a restart does not fix, from a transient failure.
*/

/** Exit codes by meaning. */
export const exitCodes = {
	/** Success; for a daemon, a planned stop that interrupted no request. */
	ok: 0,
	/** Invalid command line: an unknown command or option, or too few arguments. */
	usage: 64,
	/** A specified file does not exist or cannot be read. */
	fileMissing: 66,
	/** The requested resource does not exist. */
	notFound: 67,
	/** A platform service, or the entry, does not respond, or an address cannot be bound. */
	unavailable: 69,
	/** A violated invariant: an internal error of the program. */
	brokenInvariant: 70,
	/** A concurrent change caused a conflict, or the outcome is unknown: check the state and retry. */
	tryAgain: 75,
	/** The settings or a resource file are invalid. */
	settings: 78,
} as const;

/** One of {@link exitCodes}. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
