/*!
Replicas of the store's tables, which instances synchronize among each other.

```
use azuregate_core::replica::{Changes, Replica, Row};

let row = Row { key: "a".to_owned(), value: Some("1".to_owned()), is_removed: false, version: 3 };
let mut first = Replica::default();
first.replace(vec![row], 3).expect("the replica is empty");
// An empty replica gets the whole table.
let mut second = Replica::default();
assert_eq!(second.apply(first.changes_since(0)).len(), 1);
assert_eq!(second.version(), 3);
```

# Design

Every instance needs every change of the tables within a second or two. If all instances
watched the store, its load would grow with their number. Instead, two instances watch
the store and the others follow these two.

* [`Replica`] is one table with its version. It applies changes from several sources in
  any order and never goes back to an older version.
* [`FreshnessTracker`] tells from the reports of the sources whether the replicas are
  fresh. An instance without a fresh source watches the store itself.
*/

mod freshness;
mod table;

pub use freshness::{FreshnessTracker, SourceReport};
pub use table::{Changes, Replica, Row, StaleRead, Table};
