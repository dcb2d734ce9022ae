//! The control service that every process serves.

/// Control messages between processes.
#[tarpc::service]
pub trait Control {
    /// Delivers an encoded envelope and returns the encoded response.
    async fn exchange(envelope: Vec<u8>) -> Vec<u8>;
}
