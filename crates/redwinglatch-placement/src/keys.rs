//! Small `Copy` keys into the coordinator's arenas.

slotmap::new_key_type! {
    /// Names an engine.
    pub(crate) struct EngineKey;
    /// Names an adapter and version of one base model.
    pub(crate) struct AdapterKey;
    /// Names a customer.
    pub(crate) struct CustomerKey;
    /// Names a pin.
    pub(crate) struct PinKey;
    /// Names a waiting request.
    pub(crate) struct WaitKey;
}

/// Names a base model of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ModelKey(pub(crate) u16);

/// Names a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DataCentreKey(pub(crate) u16);
