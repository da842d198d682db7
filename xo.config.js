const config = [
	{ignores: ['gen/**', 'dist/**', 'bundle/**']},
	{
		rules: {
			// The tests run from the compiled output, which the rule cannot see.
			'ava/no-ignored-test-files': 'off',
			// It asks for a line break in empty braces, where unicorn/empty-brace-spaces forbids one.
			'@stylistic/curly-newline': 'off',
			// It does not see a use through a variable, as in a static create method; noUnusedLocals does.
			'@typescript-eslint/no-unused-private-class-members': 'off',
			// JSON from the platform's service is typed at the port that reads it; callers' and operators' input is checked by schemas.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Loops that send one message after another are the subject of this project.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['src/cli/**'],
		// The library of the command line names its functions so.
		rules: {'new-cap': ['error', {capIsNewExceptionPattern: String.raw`^(?:Option|Command)\.`}]},
	},
	{
		files: ['test/**'],
		rules: {
			// A test reads one field of one answer, and names environment variables.
			'unicorn/no-await-expression-member': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['platform/**'],
		rules: {
			// The names are the platform's: fields of its messages and settings, and headers.
			'@typescript-eslint/naming-convention': 'off',
			// The programs end themselves once they have stopped.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['src/entry/openapi.ts'],
		// The names are paths and media types of the document.
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
];

export default config;
