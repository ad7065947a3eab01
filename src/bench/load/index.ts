/** The load tool: an open-loop load against a fleet, with its faults, measures and reports. */
export type { OutcomeCounts, Quantiles } from './customerMetrics.js';
export { createFaultPlan, type FaultPlanOptions } from './faultPlan.js';
export { parseFaultFile, type AppliedFault, type FaultFile } from './faultSchedule.js';
export { parseLoadFile, type FileIssue, type LoadFile, type ParsedFile } from './loadFile.js';
export { formatLoadReport } from './report.js';
export * from './results.js';
export { runLoad, type LoadOptions, type LoadRun } from './runLoad.js';
export { formatLoadResult, formatTable } from './table.js';
