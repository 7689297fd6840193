/**
Version of this build.
*/

declare const CITRONYARD_VERSION: string;

const isBundled = typeof CITRONYARD_VERSION === 'string';

/** The package version, injected when the program is bundled; `0.0.0-dev` when it runs from source. */
export const version: string = isBundled ? CITRONYARD_VERSION : '0.0.0-dev';
