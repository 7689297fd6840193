/**
The canonical text of a prompt, from which engines count tokens, cache prefixes and (in the stand-in) derive the answer.
*/

type ContentPart = {readonly type?: unknown; readonly text?: unknown};

type Message = {readonly role?: unknown; readonly content?: unknown};

const partText = (part: ContentPart): string => part.type === 'text' && typeof part.text === 'string' ? part.text : '';

const contentText = (content: unknown): string => {
	if (typeof content === 'string') {
		return content;
	}

	return Array.isArray(content) ? content.map((part: ContentPart) => partText(part)).join('') : '';
};

const roleText = (role: unknown): string => typeof role === 'string' ? role : '';
const messageText = (message: Message): string => `${roleText(message.role)}\n${contentText(message.content)}\n`;

/** The parts of an OpenAI-compatible request that carry the prompt. */
export type PromptBody = {readonly messages?: unknown; readonly prompt?: unknown};

/**
The canonical prompt text of a request.

@returns The text of `messages`, each as its role, a line feed, its content and a line feed; parts of a content that are not text are left out. Without messages, the `prompt`, several of them joined. An empty string when there is neither.
*/
export const promptTextOf = (body: PromptBody): string => {
	if (Array.isArray(body.messages)) {
		return body.messages.map((message: Message) => messageText(message)).join('');
	}

	const prompts: unknown[] = Array.isArray(body.prompt) ? body.prompt : [body.prompt];
	return prompts.filter(prompt => typeof prompt === 'string').join('');
};

/** Characters that count as one token of a prompt. */
export const charactersPerToken = 4;

/** The number of tokens in a prompt text. */
export const promptTokensOf = (promptText: string): number => Math.ceil(promptText.length / charactersPerToken);
