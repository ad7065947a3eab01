/**
 * The load tool: generates an open-loop load, injects faults, collects metrics and reports results.
 */
export type { OutcomeCounts, Quantiles } from './customerMetrics.js';
export { createFaultPlan, type FaultPlanOptions } from './faultPlan.js';
export { parseFaultFile, type AppliedFault, type FaultFile } from './faultSchedule.js';
export { parseLoadFile, type FileIssue, type LoadFile, type ParsedFile } from './loadFile.js';
export { formatLoadReport } from './report.js';
export * from './results.js';
export { runLoad, type LoadOptions, type LoadRun } from './runLoad.js';
export { formatLoadResult, formatTable } from './table.js';
