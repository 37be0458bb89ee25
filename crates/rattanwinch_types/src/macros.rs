/// Adds the common derives of a plain value: `Clone`, `Debug`, `PartialEq`, `Eq`.
///
/// `value! { copy ... }` adds `Copy`, `PartialOrd`, `Ord` and `Hash` as well, for small keys, and
/// `value! { wire ... }` adds the derives of `serde`.
///
/// # Examples
///
/// ```
/// rattanwinch_types::value! {
///     /// A pair of load figures.
///     pub struct Load {
///         /// Requests in flight.
///         pub in_flight: u32,
///     }
/// }
/// assert_eq!(Load { in_flight: 1 }, Load { in_flight: 1 });
/// ```
#[macro_export]
macro_rules! value {
    (copy $($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $($item)*
    };
    (wire $($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq)]
        $($item)*
    };
}
