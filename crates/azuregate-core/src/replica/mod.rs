/*!
Copies of the store's tables, as instances pass them on to each other.

```
use azuregate_core::replica::{Changes, Replica, Row};

let row = Row { key: "a".to_owned(), value: Some("1".to_owned()), is_removed: false, version: 3 };
let mut first = Replica::default();
first.replace(vec![row], 3).expect("nothing newer is known");
// A copy that knows nothing gets the whole table.
let mut second = Replica::default();
assert_eq!(second.apply(first.changes_since(0)).len(), 1);
assert_eq!(second.version(), 3);
```

# Design

Every instance needs every change of the tables within a second or two. If each
watched the store, calls would grow with the instances, and each change would
cost a call of every one of them. Instead two instances watch the store and the
others follow these two.

* [`Replica`] is one table with its version. It takes changes from several
  sources in any order and never steps back.
* [`FreshnessTracker`] tells from what the sources say whether the copies are fresh. An
  instance without a fresh source watches the store itself.
*/

mod freshness;
mod table;

pub use freshness::{FreshnessTracker, SourceReport};
pub use table::{Changes, Replica, Row, StaleRead, Table};
