use {
    dewspar::schedule::{
        HoldOrder, HoldReport, OrderError, PaceOrder, StartOrder, StopOrder,
        WorkerId,
    },
    std::future::Future,
};

/// The workers that run tasks of jobs under a lease.
///
/// Each order names the life of the worker that it is meant for; any other
/// life refuses it. Where an order is answered, the worker's clock comes
/// back, in milliseconds.
pub trait JobWorkers: Clone + Send + Sync + 'static {
    /// Returns how long an order takes at most until it has a result, in
    /// milliseconds; a hold takes as much longer as it lets the worker wait.
    fn timeout_ms(&self) -> u64;

    /// Starts a run, or does nothing if it is there already.
    fn start(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &StartOrder,
    ) -> impl Future<Output = Result<u64, OrderError>> + Send;

    /// Stops a run; its end is listed later.
    fn stop(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &StopOrder,
    ) -> impl Future<Output = Result<u64, OrderError>> + Send;

    /// Limits the share at which a run works.
    fn pace(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &PaceOrder,
    ) -> impl Future<Output = Result<u64, OrderError>> + Send;

    /// Renews the worker's lease and asks what runs and what has ended.
    fn hold(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &HoldOrder,
    ) -> impl Future<Output = Result<HoldReport, OrderError>> + Send;
}
