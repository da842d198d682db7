const config = {
	files: ['dist/test/**/*.test.js', '!dist/test/misbehaving-clients.test.js'],
	timeout: '4m',
	workerThreads: false,
	concurrency: 3,
};

export default config;
