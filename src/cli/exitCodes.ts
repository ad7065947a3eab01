/** Exit codes of the command line. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The command ran and failed. */
  failed: 1,
  /** The command-line arguments are invalid. */
  usage: 2,
  /** Settings, a document or a load file is invalid; nothing was started. */
  invalid: 3,
  /** An instance cannot be reached, or a file cannot be read. */
  unreachable: 4,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
