#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {runBackendServer, runTableService} from './commands.js';

const firstArgument = 2;

await yargs(process.argv.slice(firstArgument))
	.scriptName('buckthornpoint-stand-in')
	.command('table-service', 'Runs an in-memory table service and object store', {
		port: {type: 'number', default: 0, describe: 'Port to listen on; 0 for any'},
	}, async values => runTableService(Number(values.port)))
	.command('backend-server', 'Runs a backend server that announces itself to the local node', {
		port: {type: 'number', default: 0, describe: 'Port to listen on; 0 for any'},
		node: {type: 'string', demandOption: true, describe: 'Origin of the local node'},
		name: {type: 'string', demandOption: true, describe: 'Name of the backend server'},
		service: {type: 'string', demandOption: true, describe: 'Name of the service that it runs'},
		slots: {type: 'number', default: 18, describe: 'Maximum number of concurrent requests'},
		'service-time': {type: 'number', default: 5, describe: 'Time that a request takes, in milliseconds'},
		'checks-fence': {type: 'boolean', default: false, describe: 'Refuses requests with an outdated fence'},
		'cold-concurrency': {type: 'number', default: 0, describe: 'Concurrent requests that it handles at full speed right after its start; 0 for all slots'},
	}, async values => runBackendServer(values))
	.demandCommand(1, 'Name a command.')
	.strict()
	.help()
	.version('0.1.0')
	.parseAsync();
