//! `Copy` keys of entries in the coordinator's arenas and tables.

slotmap::new_key_type! {
    /// Key of an engine.
    pub(crate) struct EngineKey;
    /// Key of an adapter version of one base model.
    pub(crate) struct AdapterKey;
    /// Key of a customer.
    pub(crate) struct CustomerKey;
    /// Key of a pin.
    pub(crate) struct PinKey;
    /// Key of a waiting request.
    pub(crate) struct WaitingKey;
}

/// Index of a base model of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ModelKey(pub(crate) u16);

/// Index of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DataCentreKey(pub(crate) u16);
