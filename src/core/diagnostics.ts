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
  documentTooLarge: entry(2001, 'error', 'The document exceeds {limit} bytes.'),
  sectionTooLarge: entry(2002, 'error', "Section '{section}' exceeds {limit} bytes."),
  entryTooLarge: entry(2003, 'error', "Entry '{key}' exceeds {limit} bytes."),
  tooManyEntries: entry(2004, 'error', "Section '{section}' has more than {limit} entries."),
  entryTooDeep: entry(2005, 'error', "Entry '{key}' is nested too deeply."),
  tooManyAliases: entry(2006, 'error', "Entry '{key}' expands more than {limit} aliases."),
  flowSectionTooLarge: entry(
    2007,
    'error',
    "Section '{section}' is too large for the flow style; write one entry a line.",
  ),
  notASection: entry(2010, 'error', 'A section name followed by a colon is expected.'),
  unknownSection: entry(2011, 'error', "No section is named '{section}'."),
  unknownSectionNear: entry(
    2012,
    'error',
    "No section is named '{section}'. Did you mean '{nearest}'?",
  ),
  duplicateKey: entry(2013, 'error', "'{key}' is given twice."),
  notAnEntry: entry(
    2014,
    'error',
    "Section '{section}' is a mapping; a name followed by a colon is expected.",
  ),
  malformedYaml: entry(2015, 'error', 'This is not well-formed YAML: {reason}'),
  unknownField: entry(2016, 'error', "'{field}' is not known here."),
  unknownFieldNear: entry(2017, 'error', "'{field}' is not known here. Did you mean '{nearest}'?"),
  invalidValue: entry(2018, 'error', "The value of '{field}' is invalid: {reason}"),
  missingField: entry(2019, 'error', "'{field}' is missing."),
  unknownReference: entry(2020, 'error', "No {what} is named '{name}'."),
  unknownReferenceNear: entry(
    2021,
    'error',
    "No {what} is named '{name}'. Did you mean '{nearest}'?",
  ),
  sharedKey: entry(2022, 'error', "The key of '{first}' and '{second}' is the same."),
  sharedUrl: entry(2023, 'error', "The upstreams '{first}' and '{second}' have the same address."),
  sectionWithoutOwner: entry(2024, 'error', "No team owns section '{section}'."),
  boundsCrossed: entry(2025, 'error', "'{low}' must not exceed '{high}'."),
  retryBudgetSpent: entry(1013, 'error', 'The retry budget is spent; the request is not retried.'),
  answerForeign: entry(1014, 'error', "Upstream '{upstream}' replied to another attempt."),
  logUnavailable: entry(1015, 'error', 'The log does not answer; keyed requests are not taken.'),
  claimNotSettled: entry(1016, 'error', 'The claim of the key was not settled in time.'),
  claimExpired: entry(1017, 'error', 'The claim of the key is too old to run the request.'),
  keyReused: entry(1018, 'error', 'The idempotency key belongs to another request.'),
  keyInUse: entry(1019, 'error', 'A request with this idempotency key runs or may have run.'),
  keyEnded: entry(1020, 'error', 'A request with this key has run; its answer was not kept.'),
  quarantined: entry(1021, 'error', 'The request is in quarantine: it has crashed upstreams.'),
  suspected: entry(1022, 'warning', 'Request {fingerprint} is suspected after {crashes} crashes.'),
  quarantineLifted: entry(1023, 'message', 'The quarantine of {fingerprint} was lifted.'),
  claimsGap: entry(1024, 'warning', 'Claims before offset {offset} expired before they were read.'),
  drainUnsettled: entry(1025, 'warning', 'Stopping with {records} records not read back.'),
  editConflict: entry(2030, 'error', 'The section has changed since version {version}.'),
  editNotOwner: entry(2031, 'error', 'This team does not own the section.'),
  operatorKeyUnknown: entry(2032, 'error', 'The operator key is missing or unknown.'),
  editUnknownBase: entry(2033, 'error', 'No version {version} is known.'),
  editInvalid: entry(2034, 'error', 'The document is not valid.'),
  configurationLogDown: entry(2035, 'error', 'The log does not answer; nothing was published.'),
  editUnsettled: entry(2036, 'error', 'The edit was not read back; publish it again by its id.'),
  operatorKeyRate: entry(2037, 'error', 'Too many unknown operator keys were tried.'),
  schemaNewer: entry(
    2038,
    'error',
    'Record {offset} has schema {version}, which this program cannot read; it keeps what it has.',
  ),
  noConfiguration: entry(2039, 'error', 'No configuration is in force yet.'),
  editBootstrap: entry(2040, 'error', 'The first edit must bring the section `teams`.'),
  versionNotKept: entry(2041, 'error', 'Version {version} is no longer in the history.'),
  configurationLoaded: entry(2042, 'message', 'Configuration {version} is in force.'),
  configurationLost: entry(
    2043,
    'error',
    'The log has expired and holds no checkpoint; waiting for a peer.',
  ),
  auditUnread: entry(2044, 'error', 'The audit trail cannot be read now.'),
  settingsUnreadable: entry(3001, 'error', "'{file}' cannot be read: {reason}"),
  settingsMalformed: entry(3002, 'error', 'These are no well-formed settings: {reason}'),
  unknownSetting: entry(3003, 'error', "The key '{key}' is not known here."),
  unknownSettingNear: entry(
    3004,
    'error',
    "The key '{key}' is not known here. Did you mean '{nearest}'?",
  ),
  missingSetting: entry(3005, 'error', "'{setting}' is missing."),
  invalidSetting: entry(3006, 'error', "The value of '{setting}' is invalid: {reason}."),
  duplicateSetting: entry(3007, 'error', 'The same key is given twice.'),
  started: entry(
    5001,
    'message',
    'Instance {id} listens for callers on {callers}, for peers on {peers} and for operators on {operators}.',
  ),
  stopped: entry(5002, 'message', 'Instance {id} has stopped.'),
  peerLost: entry(5003, 'message', 'The link to instance {id} was lost: {reason}'),
  certificateUnreadable: entry(5004, 'error', 'The certificates cannot be read: {reason}'),
  eventFailed: entry(5005, 'error', "Event '{event}' could not be handled: {reason}"),
  operatorUnreachable: entry(7010, 'error', 'No answer from {url}: {reason}'),
  operatorRefused: entry(7011, 'error', 'Refused with status {status}: {reason}'),
  baseMissing: entry(7012, 'error', 'Give the version that you had read with --base.'),
  commandFailed: entry(7001, 'error', 'The command failed: {reason}'),
  cannotStart: entry(7002, 'error', 'Cannot start: {reason}'),
  noStatus: entry(7003, 'error', 'No status from {url}: {reason}'),
  requestNotLogged: entry(7005, 'error', "No line names the request '{request}'."),
  loadRejected: entry(7004, 'error', "'{file}' names none or unknown: {targets}."),
  waitingLimit: entry(8001, 'error', 'Too many requests of this customer wait.'),
  waitingBytesLimit: entry(8002, 'error', 'Too many bytes of this customer wait.'),
  rateLimit: entry(8003, 'error', 'The request rate of this customer exceeds its limit.'),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;

export type DiagnosticCode = keyof typeof diagnostics;

export type DiagnosticArgs = Readonly<Record<string, string | number>>;

/** Returns the text of a diagnostic with its place-holders filled in. */
export function formatDiagnostic(code: DiagnosticCode, args: DiagnosticArgs = {}): string {
  return diagnostics[code].text.replace(/\{(\w+)\}/g, (whole, name: string) =>
    name in args ? String(args[name]) : whole,
  );
}
