/**
The program `citronyard-agent`.
*/
import {runProgram} from '../io/program.js';
import {Agent} from './agent.js';
import {agentSettingsSchema} from './settings.js';

runProgram({
	name: 'citronyard-agent',
	describe: 'Runs beside one backend server and is the only way to it.',
	schema: agentSettingsSchema,
	async start(settings, services) {
		const agent = new Agent(settings, services);
		const started = await agent.start();
		return started.map(() => agent);
	},
});
