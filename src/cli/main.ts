#!/usr/bin/env node
import process from 'node:process';
import {Builtins, Cli} from 'clipanion';
import {
	tableCommands, AuditCommand, StatusCommand, UsageCommand,
} from './admin.js';
import {
	CheckConfigCommand, EntryCommand, PlatformCommand, SidecarCommand,
} from './daemons.js';
import {DemoCommand, ServeCommand} from './demo.js';
import {BenchCommand} from './bench.js';
import {JobsCancelCommand, JobsGetCommand, JobsSubmitCommand} from './jobs.js';

const cli = new Cli({binaryLabel: 'sniperidge', binaryName: 'sniperidge', binaryVersion: '0.1.0'});
const commands = [
	Builtins.HelpCommand,
	Builtins.VersionCommand,
	EntryCommand,
	SidecarCommand,
	PlatformCommand,
	CheckConfigCommand,
	...tableCommands,
	AuditCommand,
	StatusCommand,
	UsageCommand,
	JobsSubmitCommand,
	JobsGetCommand,
	JobsCancelCommand,
	DemoCommand,
	ServeCommand,
	BenchCommand,
];
for (const command of commands) {
	cli.register(command);
}

await cli.runExit(process.argv.slice(2));
