//! What an instance is told by flags and environment variables.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Runs one entry instance of bamboocart.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(parser), version)]
pub struct Settings {
    /// Name of this instance, unique among all instances.
    #[bpaf(long, env("BAMBOOCART_NAME"), argument("NAME"))]
    pub name: String,
    /// Failure domain that this instance is in.
    #[bpaf(long, env("BAMBOOCART_FAILURE_DOMAIN"), argument("NAME"))]
    pub failure_domain: String,
    /// IP and port for callers and operators; port 0 takes a free one.
    #[bpaf(long, env("BAMBOOCART_LISTEN"), argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// IP and port of the platform.
    #[bpaf(long, env("BAMBOOCART_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Largest number of sends to targets at the same time.
    #[bpaf(
        long,
        env("BAMBOOCART_SEND_THREADS"),
        argument("COUNT"),
        fallback(256),
        display_fallback
    )]
    pub send_threads: usize,
    /// Largest number of connections from callers and operators.
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_CONNECTIONS"),
        argument("COUNT"),
        fallback(4096),
        display_fallback
    )]
    pub max_connections: usize,
    /// Largest size of a request body.
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_BODY_BYTES"),
        argument("BYTES"),
        fallback(4 << 20),
        display_fallback
    )]
    pub max_body_bytes: usize,
}

impl Settings {
    /// Reads the settings, or ends the process with a message that tells what is wrong.
    pub fn from_args() -> Self {
        parser().run()
    }
}
