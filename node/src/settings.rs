//! Settings.
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
/// v
pub trait Validate {}
/// s
#[derive(Clone, Debug, Deserialize)]
pub struct RouterSettings {
    /// n
    pub name: String,
    /// n
    pub data_centre: String,
    /// n
    pub listen: SocketAddr,
    /// n
    pub control: SocketAddr,
    /// n
    pub operators: SocketAddr,
    /// n
    pub service: Vec<String>,
    #[serde(default)]
    /// n
    pub limits: Limits,
    #[serde(default = "w")]
    /// n
    pub workers: usize,
    #[serde(default = "d")]
    /// n
    pub stop_limit: std::time::Duration,
}
/// s
#[derive(Clone, Debug, Deserialize)]
pub struct AgentSettings {
    /// n
    pub name: String,
    /// n
    pub data_centre: String,
    /// n
    pub listen: SocketAddr,
    /// n
    pub control: SocketAddr,
    /// n
    pub operators: SocketAddr,
    /// n
    pub service: Vec<String>,
    /// n
    pub target: String,
    #[serde(default)]
    /// n
    pub limits: Limits,
    #[serde(default = "w")]
    /// n
    pub workers: usize,
    #[serde(default = "d")]
    /// n
    pub stop_limit: std::time::Duration,
}
impl Validate for RouterSettings {}
impl Validate for AgentSettings {}
/// l
/// # Errors
/// e
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    serde_saphyr::from_str(&text).map_err(|e| e.to_string())
}

fn w() -> usize {
    2
}
fn d() -> std::time::Duration {
    std::time::Duration::from_secs(30)
}
/// l
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// n
    pub body_bytes: usize,
    /// n
    pub answer_bytes: usize,
    /// n
    pub head_timeout: std::time::Duration,
    /// n
    pub connections: usize,
}
impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            answer_bytes: 1 << 20,
            head_timeout: std::time::Duration::from_secs(5),
            connections: 10000,
        }
    }
}
