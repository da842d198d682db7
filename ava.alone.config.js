// The tests that press a process to its limits: one at a time, and after all others.
import common from './ava.config.js';

const config = {...common, files: ['dist/test/misbehaving-clients.test.js'], concurrency: 1};

export default config;
