/**
 * The table of diagnostics: every text that a caller, an operator or a log reader sees, by code.
 * Codes are stable. Ranges: 1000 requests, 2000 configuration document, 3000 settings, 4000
 * platform, 5000 peers and TLS, 6000 orders, 7000 command line, 8000 membership and shares.
 */

export type DiagnosticCategory = 'error' | 'warning' | 'message';

export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** Text with `{name}` place-holders. */
  readonly text: string;
}

const entry = (code: number, category: DiagnosticCategory, text: string): DiagnosticMessage => ({
  code,
  category,
  text,
});

export const diagnostics = {
  unknownKey: entry(1001, 'error', 'The bearer key is missing or unknown.'),
  unknownPool: entry(1002, 'error', "No pool is named '{pool}'."),
  malformedRequest: entry(1003, 'error', 'The request cannot be read: {reason}'),
  bodyTooLarge: entry(1004, 'error', 'The body exceeds {limit} bytes.'),
  deadlinePassed: entry(1005, 'error', 'The deadline passed before the request could run.'),
  instanceStopping: entry(1006, 'error', 'This instance is stopping and takes no new requests.'),
  notReady: entry(1007, 'error', 'This instance has no configuration yet.'),
  upstreamFailed: entry(1008, 'error', "Upstream '{upstream}' failed: {reason}"),
  answerCut: entry(1009, 'error', "The answer of upstream '{upstream}' ended early."),
  noUpstream: entry(1010, 'error', "Pool '{pool}' has no upstream that can run the request."),
  internalError: entry(1011, 'error', 'An internal error ended the request.'),
  notFound: entry(1012, 'error', 'No such path.'),
  started: entry(5001, 'message', 'Instance {id} listens for callers on {address}.'),
  stopped: entry(5002, 'message', 'Instance {id} has stopped.'),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;

export type DiagnosticCode = keyof typeof diagnostics;

export type DiagnosticArgs = Readonly<Record<string, string | number>>;

/** Returns the text of a diagnostic with its place-holders filled in. */
export function formatDiagnostic(code: DiagnosticCode, args: DiagnosticArgs = {}): string {
  return diagnostics[code].text.replace(/\{(\w+)\}/g, (whole, name: string) =>
    name in args ? String(args[name]) : whole,
  );
}
