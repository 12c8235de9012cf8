//! What a process uses, as the kernel counts it.

/// Returns the highest resident memory of a process so far, in KB; `None` if the process does not exist.
pub fn peak_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?.parse().ok())
}

/// Returns the number of open descriptors of a process; `None` if the process does not exist.
pub fn descriptors(process: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count())
}
