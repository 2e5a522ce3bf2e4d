/*!
Adapter for the platform on which azuregate is deployed.

An entry instance reads its settings from a file that the platform writes, and
everything else from the platform's store:

```
use azuregate_platform::settings::Settings;

let text = "self.nodeName=n-1\nself.zone=a\nself.region=r\nself.ip=10.0.0.1\n\
            network.zones.a=r\nnetwork.internalPorts=7720,7735\n\
            network.listen.frontend=10.0.0.1:80\nnetwork.listen.readiness=10.0.0.1:81\n\
            network.listen.directory=10.0.0.1:82\n\
            provider.provider.address=10.9.0.1:90\n";
let settings = Settings::parse(text)?;
assert_eq!(settings.instance.as_str(), "n-1");
# Ok::<(), azuregate_platform::settings::SettingsError>(())
```

# Design

Only this crate uses the platform's names, formats and API calls. It makes no
decisions: each module converts bytes to the types of `azuregate_core` or back.

* [`settings`] parses the settings file.
* [`store`] is the client of the platform's store.
* [`config`], [`backend`], [`member`] and [`crashes`] decode the rows of the store.
* `fakes`, behind the feature `stand-in`, holds fakes of the store and of backend
  servers for tests.
* [`request`] defines the headers and paths of requests, responses and probes.
*/

pub mod backend;
pub mod config;
pub mod crashes;
#[cfg(feature = "stand-in")]
pub mod fakes;
pub mod member;
pub mod request;
pub mod settings;
pub mod store;
