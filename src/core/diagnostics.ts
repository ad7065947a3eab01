/**
 * The table of diagnostics: the messages shown to callers and operators and written to the log.
 * Codes are stable. Ranges: 1000 requests, 2000 configuration document and edits, 3000 settings,
 * 5000 process, peers and TLS, 7000 command line, 8000 limits of customers. The ranges 4000
 * (platform) and 6000 (orders) are reserved.
 */

export type DiagnosticCategory = 'error' | 'warning' | 'message';

export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** Message with `{name}` placeholders. */
  readonly text: string;
}

const diagnostic = (
  code: number,
  category: DiagnosticCategory,
  text: string,
): DiagnosticMessage => ({
  code,
  category,
  text,
});

export const diagnostics = {
  unknownKey: diagnostic(1001, 'error', 'The API key is missing or unknown.'),
  unknownPool: diagnostic(1002, 'error', "No pool is named '{pool}'."),
  malformedRequest: diagnostic(1003, 'error', 'The request is malformed: {reason}'),
  bodyTooLarge: diagnostic(1004, 'error', 'The request body exceeds {limit} bytes.'),
  deadlinePassed: diagnostic(1005, 'error', 'The deadline passed before the request could run.'),
  instanceStopping: diagnostic(
    1006,
    'error',
    'This instance is stopping and accepts no new requests.',
  ),
  notReady: diagnostic(1007, 'error', 'This instance has no configuration yet.'),
  upstreamFailed: diagnostic(1008, 'error', "Upstream '{upstream}' failed: {reason}"),
  answerCut: diagnostic(1009, 'error', "The response of upstream '{upstream}' ended prematurely."),
  noUpstream: diagnostic(1010, 'error', "Pool '{pool}' has no upstream that can run the request."),
  internalError: diagnostic(1011, 'error', 'An internal error ended the request.'),
  notFound: diagnostic(1012, 'error', 'The path does not exist.'),
  documentTooLarge: diagnostic(2001, 'error', 'The document exceeds {limit} bytes.'),
  sectionTooLarge: diagnostic(2002, 'error', "Section '{section}' exceeds {limit} bytes."),
  entryTooLarge: diagnostic(2003, 'error', "Entry '{key}' exceeds {limit} bytes."),
  tooManyEntries: diagnostic(2004, 'error', "Section '{section}' has more than {limit} entries."),
  entryTooDeep: diagnostic(2005, 'error', "Entry '{key}' is nested too deeply."),
  tooManyAliases: diagnostic(2006, 'error', "Entry '{key}' expands more than {limit} aliases."),
  flowSectionTooLarge: diagnostic(
    2007,
    'error',
    "Section '{section}' is too large for flow style; write one entry per line.",
  ),
  notASection: diagnostic(2010, 'error', 'A section name followed by a colon is expected.'),
  unknownSection: diagnostic(2011, 'error', "No section is named '{section}'."),
  unknownSectionNear: diagnostic(
    2012,
    'error',
    "No section is named '{section}'. Did you mean '{nearest}'?",
  ),
  duplicateKey: diagnostic(2013, 'error', "Duplicate key '{key}'."),
  notAnEntry: diagnostic(
    2014,
    'error',
    "Section '{section}' is a mapping; a name followed by a colon is expected.",
  ),
  malformedYaml: diagnostic(2015, 'error', 'Malformed YAML: {reason}'),
  unknownField: diagnostic(2016, 'error', "Unknown field '{field}'."),
  unknownFieldNear: diagnostic(2017, 'error', "Unknown field '{field}'. Did you mean '{nearest}'?"),
  invalidValue: diagnostic(2018, 'error', "The value of '{field}' is invalid: {reason}"),
  missingField: diagnostic(2019, 'error', "'{field}' is missing."),
  unknownReference: diagnostic(2020, 'error', "No {what} is named '{name}'."),
  unknownReferenceNear: diagnostic(
    2021,
    'error',
    "No {what} is named '{name}'. Did you mean '{nearest}'?",
  ),
  sharedKey: diagnostic(2022, 'error', "'{first}' and '{second}' have the same key."),
  sharedUrl: diagnostic(
    2023,
    'error',
    "The upstreams '{first}' and '{second}' have the same address.",
  ),
  sectionWithoutOwner: diagnostic(2024, 'error', "No team owns section '{section}'."),
  boundsCrossed: diagnostic(2025, 'error', "'{low}' must not exceed '{high}'."),
  retryBudgetSpent: diagnostic(
    1013,
    'error',
    'The retry budget is exhausted; the request is not retried.',
  ),
  answerForeign: diagnostic(
    1014,
    'error',
    "Upstream '{upstream}' returned the response of another attempt.",
  ),
  logUnavailable: diagnostic(
    1015,
    'error',
    'The log is unavailable; requests with an idempotency key are not accepted.',
  ),
  claimNotSettled: diagnostic(
    1016,
    'error',
    'The claim on the idempotency key was not confirmed in time.',
  ),
  claimExpired: diagnostic(
    1017,
    'error',
    'The claim on the idempotency key is too old to run the request.',
  ),
  keyReused: diagnostic(
    1018,
    'error',
    'The idempotency key was already used for a different request.',
  ),
  keyInUse: diagnostic(
    1019,
    'error',
    'A request with this idempotency key is running or may have run.',
  ),
  keyEnded: diagnostic(
    1020,
    'error',
    'A request with this idempotency key has run, but its response was not stored.',
  ),
  quarantined: diagnostic(
    1021,
    'error',
    'The request is quarantined because it has crashed upstreams.',
  ),
  suspected: diagnostic(
    1022,
    'warning',
    'Request {fingerprint} is suspected of causing crashes ({crashes} so far).',
  ),
  quarantineLifted: diagnostic(1023, 'message', 'The quarantine of {fingerprint} was lifted.'),
  claimsGap: diagnostic(
    1024,
    'warning',
    'Claims before offset {offset} expired before they were read.',
  ),
  drainUnsettled: diagnostic(
    1025,
    'warning',
    'Stopping with {records} records not confirmed by the log.',
  ),
  editConflict: diagnostic(2030, 'error', 'The section has changed since version {version}.'),
  editNotOwner: diagnostic(
    2031,
    'error',
    'The team of this operator key does not own the section.',
  ),
  operatorKeyUnknown: diagnostic(2032, 'error', 'The operator key is missing or unknown.'),
  editUnknownBase: diagnostic(2033, 'error', 'Version {version} does not exist.'),
  editInvalid: diagnostic(2034, 'error', 'The document is not valid.'),
  configurationLogDown: diagnostic(2035, 'error', 'The log is unavailable; nothing was published.'),
  editUnsettled: diagnostic(
    2036,
    'error',
    'The edit was not confirmed by the log; publish it again with the same edit id.',
  ),
  operatorKeyRate: diagnostic(2037, 'error', 'Too many unknown operator keys were tried.'),
  schemaNewer: diagnostic(
    2038,
    'error',
    'Record {offset} has unsupported schema version {version}; the current state is kept.',
  ),
  noConfiguration: diagnostic(2039, 'error', 'No configuration is in force yet.'),
  editBootstrap: diagnostic(2040, 'error', 'The first edit must contain the section `teams`.'),
  versionNotKept: diagnostic(2041, 'error', 'Version {version} is no longer in the history.'),
  configurationLoaded: diagnostic(2042, 'message', 'Configuration {version} is in force.'),
  configurationLost: diagnostic(
    2043,
    'error',
    'The log has expired and contains no checkpoint; waiting for a peer.',
  ),
  auditUnread: diagnostic(2044, 'error', 'The audit trail cannot be read at the moment.'),
  settingsUnreadable: diagnostic(3001, 'error', "'{file}' cannot be read: {reason}"),
  settingsMalformed: diagnostic(3002, 'error', 'Malformed settings: {reason}'),
  unknownSetting: diagnostic(3003, 'error', "The key '{key}' is not known here."),
  unknownSettingNear: diagnostic(
    3004,
    'error',
    "The key '{key}' is not known here. Did you mean '{nearest}'?",
  ),
  missingSetting: diagnostic(3005, 'error', "'{setting}' is missing."),
  invalidSetting: diagnostic(3006, 'error', "The value of '{setting}' is invalid: {reason}."),
  duplicateSetting: diagnostic(3007, 'error', 'Duplicate key.'),
  started: diagnostic(
    5001,
    'message',
    'Instance {id} listens for callers on {callers}, for peers on {peers} and for operators on {operators}.',
  ),
  stopped: diagnostic(5002, 'message', 'Instance {id} has stopped.'),
  peerLost: diagnostic(5003, 'message', 'The connection to instance {id} was lost: {reason}'),
  certificateUnreadable: diagnostic(5004, 'error', 'The certificates cannot be read: {reason}'),
  eventFailed: diagnostic(5005, 'error', "Event '{event}' could not be handled: {reason}"),
  operatorUnreachable: diagnostic(7010, 'error', 'No response from {url}: {reason}'),
  operatorRefused: diagnostic(
    7011,
    'error',
    'The server rejected the request with status {status}: {reason}',
  ),
  baseMissing: diagnostic(
    7012,
    'error',
    'Specify the version that the edit is based on with --base.',
  ),
  commandFailed: diagnostic(7001, 'error', 'The command failed: {reason}'),
  cannotStart: diagnostic(7002, 'error', 'Cannot start: {reason}'),
  noStatus: diagnostic(7003, 'error', 'No status from {url}: {reason}'),
  requestNotLogged: diagnostic(7005, 'error', "No log line mentions request '{request}'."),
  loadRejected: diagnostic(7004, 'error', "Missing or unknown targets in '{file}': {targets}."),
  waitingLimit: diagnostic(8001, 'error', 'Too many requests of this customer are waiting.'),
  waitingBytesLimit: diagnostic(
    8002,
    'error',
    'Too many request bytes of this customer are waiting.',
  ),
  rateLimit: diagnostic(8003, 'error', 'The request rate of this customer exceeds its limit.'),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;

export type DiagnosticCode = keyof typeof diagnostics;

export type DiagnosticArgs = Readonly<Record<string, string | number>>;

/** Returns the message of a diagnostic with its placeholders replaced by `args`. */
export function formatDiagnostic(code: DiagnosticCode, args: DiagnosticArgs = {}): string {
  return diagnostics[code].text.replace(/\{(\w+)\}/g, (placeholder, name: string) =>
    name in args ? String(args[name]) : placeholder,
  );
}
