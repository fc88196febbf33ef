//! Macros for the derives and newtypes that recur in the workspace.

/// Adds the derives that every plain data type of the workspace has.
///
/// ```
/// rudder_core::plain_data! {
///     /// A pair of counters.
///     pub struct CounterPair {
///         /// Requests seen.
///         pub seen: u64,
///     }
/// }
/// assert_eq!(CounterPair { seen: 1 }.clone(), CounterPair { seen: 1 });
/// ```
#[macro_export]
macro_rules! plain_data {
    ($item:item) => {
        #[derive(Clone, Debug, PartialEq, Eq)]
        $item
    };
}

/// Declares a name newtype: a short lower-case identifier, validated when it is parsed.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::ident::check_name(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

/// Declares a number newtype with `Display`, `FromStr` and ordering.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| $crate::ParseError::Number {
                    what: stringify!($name),
                    text: text.to_owned(),
                })
            }
        }
    };
}

pub(crate) use {name_type, number_type};
