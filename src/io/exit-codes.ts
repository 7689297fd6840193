/**
The exit codes of all programs, after the BSD list in sysexits(3), so that a supervisor can tell a fault of the settings, which a restart does not mend, from one that passes.
*/

/** What a program's exit status means. */
export const exitCodes = {
	/** All was done; for a daemon: a planned stop without a request cut off. */
	ok: 0,
	/** The command line was wrong: an unknown command or option, or too few arguments. */
	usage: 64,
	/** A file that was named does not exist or cannot be read. */
	fileMissing: 66,
	/** What was asked for does not exist. */
	notFound: 67,
	/** A service of the platform, or the entry, does not answer. */
	unavailable: 69,
	/** A broken invariant: a fault of the program itself. */
	brokenInvariant: 70,
	/** Somebody else changed the same thing, or the outcome is not known yet: look, and try again. */
	tryAgain: 75,
	/** The settings or a resource file are wrong. */
	settings: 78,
} as const;

/** One of {@link exitCodes}. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
