//! Command-line options for the operators' addresses and the secret.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bpaf::{Bpaf, ShellComp};
use redwinglatch_operators::OperatorClient;
use redwinglatch_settings::Settings;

use crate::command_error::CommandError;

const NO_ADDRESS: &str = "no instance is given; use --settings FILE, or --address IP:PORT with \
                          --secret-file FILE";

/// The addresses of instances and the file with the operators' secret.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Connection {
    Settings {
        /// Take the addresses of all instances and the secret file from these settings
        #[bpaf(
            long,
            env("REDWINGLATCH_SETTINGS"),
            argument("FILE"),
            complete_shell(ShellComp::File { mask: Some("*.ini") })
        )]
        settings: PathBuf,
    },
    Addresses {
        /// Send requests to the instance at this operators' address; repeat the option to add
        /// addresses that are tried when an instance does not respond
        #[bpaf(long, argument("IP:PORT"), some(NO_ADDRESS))]
        address: Vec<SocketAddr>,
        /// Read the secret of operators from the first line of this file
        #[bpaf(
            long,
            env("REDWINGLATCH_SECRET_FILE"),
            argument("FILE"),
            complete_shell(ShellComp::File { mask: None })
        )]
        secret_file: PathBuf,
    },
}

impl Connection {
    /// Creates a client for the addresses.
    pub(crate) fn client(&self) -> miette::Result<OperatorClient> {
        let (addresses, secret) = match self {
            Connection::Settings { settings } => {
                let settings = Settings::from_file(settings)?;
                let own_address = settings.instance.operators_address;
                let others = settings.instances.iter().map(|entry| entry.operators_address);
                let others = others.filter(|address| *address != own_address);
                let addresses = std::iter::once(own_address).chain(others).collect::<Vec<_>>();
                (addresses, read_secret(&settings.secrets.operators_file)?)
            }
            Connection::Addresses { address, secret_file } => {
                (address.clone(), read_secret(secret_file)?)
            }
        };
        Ok(OperatorClient::new(addresses, &secret))
    }
}

/// Returns the first secret of the file; the server accepts any of its secrets.
fn read_secret(path: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        CommandError::new(
            format!("the secret file {} can't be read: {error}", path.display()),
            "check the path and the permissions",
        )
    })?;
    let secret = text.lines().map(str::trim).find(|line| !line.is_empty());
    secret.map(str::to_owned).ok_or_else(|| {
        CommandError::new(
            format!("the secret file {} is empty", path.display()),
            "write the secret of operators on its first line",
        )
    })
}
