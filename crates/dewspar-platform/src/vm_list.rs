use {crate::Error, dewspar::fleet::Listing, std::future::Future};

/// The platform's list of VMs, as of some moment not long ago.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmListing {
    /// What tells this list from the next one.
    pub tag: String,
    /// Every VM that is live or leaving.
    pub vms: Vec<Listing>,
    /// Whether some row couldn't be read: a VM that isn't listed may be there.
    pub is_partial: bool,
}

/// A lagging list of live and leaving VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list; `None` means that it still is the one tagged so.
    fn list(
        &self,
        tag: &str,
    ) -> impl Future<Output = Result<Option<VmListing>, Error>> + Send;
}
