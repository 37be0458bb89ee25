/// Derives the common traits of a plain value: `Clone`, `Debug`, `PartialEq`, `Eq`.
///
/// `value! { copy ... }` also derives `Copy`, `PartialOrd`, `Ord` and `Hash`, for small keys.
/// `value! { wire ... }` derives `Clone`, `Debug`, `PartialEq` and the traits of `serde`.
///
/// # Examples
///
/// ```
/// rattanwinch_types::value! {
///     /// The load of a server.
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
