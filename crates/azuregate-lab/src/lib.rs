/*!
Simulators of the systems that azuregate works with, and a load generator.

```no_run
use azuregate_lab::{example::Example, up};

# async fn demo() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
let example = Example::load("examples/kvas.jsonc".as_ref())?;
let lab = up::start(&example).await?;
lab.wait_ready().await?;
lab.stop().await;
# Ok(())
# }
```

For tests and measurements only: it is not shipped, and no other crate depends on
it.
*/

pub mod backends;
pub mod baselines;
pub mod cli;
pub mod client;
pub mod example;
pub mod load;
pub mod measure;
pub mod network;
pub mod platform;
pub mod up;
