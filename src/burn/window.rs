//! The windows over which burn rates are reported.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Error;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

/// A window of the burn report. A router that has run for less than the window has data for its uptime only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes: confirms that the condition of a fast alarm still holds.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour: triggers the fast alarm and confirms the slow one.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours: triggers the slow alarm.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days: the period of the error budget.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length of the window.
    #[must_use]
    pub const fn span(self) -> Duration {
        match self {
            Self::FiveMinutes => Duration::from_secs(5 * MINUTE.as_secs()),
            Self::Hour => HOUR,
            Self::SixHours => Duration::from_secs(6 * HOUR.as_secs()),
            Self::ThreeDays => Duration::from_secs(72 * HOUR.as_secs()),
        }
    }

    /// Returns the name used by commands and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }

    /// Parses the name of a window.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::InvalidInput`](crate::ErrorKind::InvalidInput) for any other name.
    pub fn parse(name: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|window| window.name() == name)
            .ok_or_else(|| Error::invalid("window", name.escape_debug(), "use 5m, 1h, 6h or 3d"))
    }

    /// Returns the number of time slices for event counts.
    #[must_use]
    pub const fn counter_slices(self) -> usize {
        match self {
            Self::FiveMinutes => 30,
            Self::Hour => 60,
            Self::SixHours => 36,
            Self::ThreeDays => 72,
        }
    }

    /// Returns the number of time slices for histograms and contributors: fewer than for counts, because they are
    /// larger.
    ///
    /// The ring buffer holds one more slice, so details cover up to one slice more than the window.
    #[must_use]
    pub(super) const fn detail_slices(self) -> usize {
        match self {
            Self::FiveMinutes => 2,
            Self::Hour | Self::SixHours => 4,
            Self::ThreeDays => 6,
        }
    }
}
