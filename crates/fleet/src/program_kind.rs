/// Program that a fleet runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProgramKind {
    /// Stand-in of the key-value service.
    Kv,
    /// Stand-in of the host list.
    HostList,
    /// Stand-in of the weight store.
    Store,
    /// Stand-in of a model engine.
    Engine,
    /// Stand-in of a plain service.
    Service,
    /// Control process of a host.
    Control,
    /// Entry process of a host.
    Entry,
}

impl ProgramKind {
    /// File name of the executable.
    pub fn program(&self) -> &'static str {
        match self {
            Self::Kv => "standin-kv",
            Self::HostList => "standin-hostlist",
            Self::Store => "standin-store",
            Self::Engine => "standin-engine",
            Self::Service => "standin-service",
            Self::Control => "zinniahinge-control",
            Self::Entry => "zinniahinge-entry",
        }
    }
}
