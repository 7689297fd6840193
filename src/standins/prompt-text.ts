/**
The engine reads a prompt as the rest of the system does.
*/
export * from '../common/prompt-text.js';
