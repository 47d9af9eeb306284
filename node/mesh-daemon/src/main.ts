#!/usr/bin/env node
import process from 'node:process';
import {DeferredSignal} from './deferred-signal.js';

// Subscribes before the other modules are loaded, which takes a while: without a handler SIGHUP would end the process.
const reload = new DeferredSignal(process, 'SIGHUP');
const {runProgram} = await import('./run-program.js');
process.exit(await runProgram(reload));
