/**
Stands in the bundles for `thread-stream`, with which pino writes a log from a thread of its own; no program asks for that.
*/
'use strict';

module.exports = {};
